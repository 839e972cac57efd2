// Package explainer says why a chat, an order or an organisation goes where it goes, without asking any process.
//
// It decides with the code of the routers: the configuration is loaded by package configurer, the host list and
// the load entries are joined by package tracker, and the upstreams are ordered by package chooser. The answer
// holds for a router that knows exactly what the explainer is given.
package explainer
