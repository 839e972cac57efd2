// Package placer chooses the upstream for each request.
//
// A chat request goes to the first upstream in the chat's preference order whose load is below a limit derived from
// the mean load. The preference order is a rendezvous hash, so all routers send a chat to the upstream that has its
// prompt cached without coordinating with each other. Other requests go to the least loaded upstream.
//
// Load reports are old when they are used, and many routers use the same ones. Close to its limit an upstream is
// therefore taken with a falling probability, and a chat whose first upstreams are at their limits is spread at random
// over several; routers report such chats to each other.
package placer
