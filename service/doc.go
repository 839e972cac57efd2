// Package service is the client that an agent uses to call its plain service.
package service
