// Package service is the HTTP client of an agent for its plain service. It sends no call twice that is not idempotent.
package service
