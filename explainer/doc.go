// Package explainer says why a chat, an order or an organisation goes where it goes, without asking any process.
//
// It decides with the code of the routers: the configuration is loaded by package configurer, the host list and
// the load entries are joined by package tracker, the upstreams are ordered by package chooser, and the owner of
// an order's key is that of package ticketer. The answer holds for a router and agents that know exactly what the
// explainer is given, and nothing of earlier requests: neither where a displaced chat was cached nor free slots.
package explainer
