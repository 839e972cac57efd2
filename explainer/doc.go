// Package explainer explains offline how the requests of an organisation, a chat or an order are routed.
//
// It runs the same code as the routers: package configurer loads the configuration, package tracker merges the host
// list with the load entries, package chooser orders the upstreams, and package ticketer determines the owner of an
// order's key. The result holds for a router and agents whose state is that in Config. It does not account for earlier
// requests: for prefixes cached at other upstreams than the preferred one, and for the number of free slots.
package explainer
