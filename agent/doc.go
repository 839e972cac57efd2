// Package agent is the process that runs next to an upstream, an engine or a plain service. It admits requests from
// routers to the upstream, records the streamed answers so that they can be resumed, and runs orders at most once.
package agent
