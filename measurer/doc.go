// Package measurer runs routers and agents with stand-in engines on loopback and measures whether the fleet meets its
// goals, such as cache reuse, load balance, added latency and fairness.
package measurer
