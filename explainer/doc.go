// Package explainer explains offline how the requests of an organisation, a chat or an order are routed.
//
// It runs the same code as the routers: package configurer loads the configuration, package tracker merges the host
// list with the load entries, package chooser orders the upstreams, and package ticketer determines the owner of an
// order's key. The result holds for a router and agents that know exactly what is in Config and nothing about earlier
// requests, so it ignores prefixes cached at other upstreams than the preferred one and the number of free slots.
package explainer
