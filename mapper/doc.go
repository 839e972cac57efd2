// Package mapper determines the route, service, organisation and urgency of a request from the configuration.
package mapper
