// Package locator remembers, at the agents, which engine holds a chat's cached prefix.
//
// The load bound moves a part of the chats to other engines. The first agent in a chat's order is the same at every
// router, so that a small table there is enough to send the chat's next turn to its cache: at 13 million chats over
// 600 agents each agent keeps about 22,000 chats, and no router keeps any.
package locator
