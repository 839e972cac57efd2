// Package blocker detects requests that crash the upstreams that run them, and blocks them.
//
// A request that is running at an upstream when its connection breaks is suspected of the crash. The routers exchange
// crash reports, and all of them block a request for a limited time once it is suspected of three crashes. An answer to it
// that is served whole, anywhere, clears it, and crashes that a part of prompts explains do not count.
//
// A part of prompts may crash upstreams too, whatever else the requests with it hold. The parts of a request are suspected
// of a crash if the upstream had not begun to answer it, and cleared when an upstream begins to answer any request with
// them, wherever they are in its prompt. The part that explains three crashes or more is blocked. Crashes in the middle of an
// answer are judged apart: a begin does not clear parts of them, but an answer that outlived the time of such crashes does.
package blocker
