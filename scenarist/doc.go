// Package scenarist runs scripted scenarios against fleets of separate processes on loopback.
//
// A script in testdata/script is a txtar file: commands first, then the files that they use. Scripts use the process
// names that an operator sees. router-1 and router-2 are routers. Each worker of a pool or service of the sheet is an
// agent, such as vavrad-2, and the stand-in for its upstream is a process of its own, vavrad-2.upstream. The platform is
// one process. A command that takes processes also accepts the groups all (every router and agent), routers, agents and
// upstreams, and the name of a pool or service, which stands for its agents.
//
// No command sleeps for a fixed time. A command that waits does so for a condition, and fails when a time limit is
// reached.
//
// Commands for the fleet:
//
//	fleet [routers=2] [engines=3] [slots=4] [token=20ms] [load=100ms] [grace=500ms] [first-byte=1s]
//	      [silence=30s] [limit=60s]
//	    compiles sheet.csv, and writes settings and a host list for it with addresses that only this script uses;
//	    slots, token and load configure the engines, grace, first-byte and silence are settings, and limit bounds each
//	    wait for a condition of a process
//	example DIR
//	    copies a complete deployment from a directory instead, with addresses that only this script uses
//	start PROCESS...      starts processes and waits until each is ready
//	begin PROCESS...      starts processes and does not wait
//	signal NAME PROCESS...
//	    sends TERM, KILL, STOP or CONT; after KILL it waits for the end of the process
//	exited PROCESS...     waits until processes have exited by themselves with exit code 0
//	restart PROCESS...    for one process after the other: signal TERM, exited, start
//	publish SHEET         compiles a sheet and publishes it on the platform
//	publish-part OLD NEW VERSION
//	    publishes a version in whose parts OLD is replaced by NEW, without validation, as a faulty tool might
//	leave AGENT           lists a host as leaving on the platform
//
// Commands for callers. KEY in the environment is the organisation's key. ROUTER is the name of a router, or routers,
// which selects the next router that is ready:
//
//	chat NAME ROUTER [rank=NAME] [tokens=20] [text=TEXT]   starts a streamed chat
//	got NAME EVENTS       waits until a chat has received that many events
//	served-by VAR NAME    sets VAR to the agent that serves the stream of a chat
//	whole NAME [VERSION]  waits for the end of a chat and checks that its answer is complete and comes from a single
//	    published model version, or from VERSION
//	cut NAME              waits until a chat's connection breaks before the end of the answer
//	resume NAME ROUTER    reads the rest of a chat whose connection broke
//	ticket VAR ROUTER SERVICE          requests a ticket
//	order NAME ROUTER SERVICE KEY BODY [deadline=30s]
//	    places an order; KEY is a ticket, the caller's own key, or - for none
//	answered NAME...      waits until orders have succeeded; all must have the same response
//	refused NAME VERDICT [CODE]        waits until an order has failed with a verdict
//	truthful SERVICE NAME...           waits for the end of orders and compares their outcomes with the executions: an
//	    order that succeeded ran exactly once, one with the verdict not_run never, and any other at most once
//	load NAME [rank=NAME] [chats=4] [orders=0] [service=NAME] [tokens=10] [refusals=fail|count]
//	    keeps that many chats and orders with tickets running; each caller sends one request at a time
//	progress NAME N       waits until N more requests of a load have succeeded
//	unload NAME           stops a load once its last requests have ended, and checks all responses
//
// Commands that wait for or check the state of processes:
//
//	await status PROCESS FIELD REGEXP   waits until a field of the status of each process matches
//	await agree PROCESS FIELD           waits until a field has the same value in each process
//	await log PROCESS REGEXP            waits for a line in the log of each process
//	await log-of-one PROCESS REGEXP     waits for a line in the log of one of the processes
//	await executions SERVICE N          waits until a service has run N orders
//	await loaded POOL VERSION           waits until each engine of a pool is ready with a model version
//	executions SERVICE N  checks that a service has run exactly N orders, and none of them twice
//	no-new-work AGENT 3s  waits until other agents receive work later than this time after leave, and checks that the
//	    agent received none later than that
package scenarist
