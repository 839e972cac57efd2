// Package scenarist runs scripted scenarios against fleets of separate processes on loopback.
//
// A script in testdata/script is a txtar file: commands first, then the files that they use. A script names processes
// as an operator does. router-1 and router-2 are routers. Each worker of a pool or service of the sheet is an agent,
// such as vavrad-2, with its upstream beside it, vavrad-2.upstream. The platform is one process. A command that takes
// processes also takes the groups all (every daemon), routers, agents, upstreams, and the name of a pool or service,
// which means its agents.
//
// No command waits for a fixed time: it waits for a condition and fails at an upper limit.
//
// The fleet:
//
//	fleet [routers=2] [engines=3] [slots=4] [token=20ms] [load=100ms] [grace=500ms] [first-byte=1s]
//	      [silence=30s] [limit=60s]
//	    writes settings and the host list for sheet.csv with addresses of its own, and compiles the sheet;
//	    slots to load describe the engines, grace to silence are settings, and limit bounds the waits for a process
//	example DIR
//	    takes a complete deployment from a directory instead, with addresses of its own
//	start PROCESS...      starts processes and waits until each is ready
//	begin PROCESS...      starts processes and does not wait
//	signal NAME PROCESS...
//	    sends TERM, KILL, STOP or CONT; after KILL it waits for the end of the process
//	exited PROCESS...     waits until processes have ended by themselves with exit code 0
//	restart PROCESS...    one after the other: TERM, exited, start
//	publish SHEET         compiles a sheet and publishes it at the platform
//	publish-part OLD NEW VERSION
//	    publishes a version whose parts have OLD replaced by NEW and are not checked, as a faulty tool would
//	leave AGENT           lists a host as leaving at the platform
//
// Callers; KEY in the environment is the organisation's key, and ROUTER may be routers, which means the next ready one:
//
//	chat NAME ROUTER [rank=NAME] [tokens=20] [text=TEXT]   begins a streamed chat
//	got NAME EVENTS       waits until a chat has so many events
//	served-by VAR NAME    sets VAR to the agent that holds the stream of a chat
//	whole NAME [VERSION]  waits for the end of a chat, whose answer must be whole in one published version
//	cut NAME              waits until a chat breaks off before its end
//	resume NAME ROUTER    reads the rest of a chat that broke off
//	ticket VAR ROUTER SERVICE          gets a ticket
//	order NAME ROUTER SERVICE KEY BODY [deadline=30s]
//	    places an order; KEY may be a ticket, a key, or - for none
//	answered NAME...      waits until orders are answered; all must have the same answer
//	refused NAME VERDICT [CODE]        waits until an order is refused with a verdict
//	truthful SERVICE NAME...           waits for the end of orders, and checks that those that were answered ran
//	    once, those with the verdict not_run never, and no other twice
//	load NAME [rank=NAME] [chats=4] [orders=0] [service=NAME] [tokens=10] [refusals=fail|count]
//	    keeps so many chats and orders with tickets running, each caller with one request at a time
//	progress NAME N       waits until a load got N more answers
//	unload NAME           ends a load when its last requests are answered, and checks all answers
//
// Looking:
//
//	await status PROCESS FIELD REGEXP   waits until a field of the status of each process matches
//	await agree PROCESS FIELD           waits until a field has the same value at each process
//	await log PROCESS REGEXP            waits for a line in the log of each process
//	await log-of-one PROCESS REGEXP     waits for a line in the log of one of the processes
//	await executions SERVICE N          waits until a service ran N orders
//	await loaded POOL VERSION           waits until each engine of a pool has a version ready
//	executions SERVICE N  checks that a service ran exactly N orders, and none of them twice
//	no-new-work AGENT 3s  waits until others got work for longer than a time after leave, and checks that the agent got none
package scenarist
