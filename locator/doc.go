// Package locator records, at the agents, which engine has a chat's prefix in its cache.
//
// The load bound moves part of the chats away from their preferred upstream. Every router computes the same preferred
// upstream for a chat, so a small table at the agent of that upstream is enough to send the chat's next turn to the
// engine with its cached prefix. With 13 million chats over 600 agents, each agent holds about 22,000 chats, and routers
// hold none.
package locator
