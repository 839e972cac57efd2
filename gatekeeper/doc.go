// Package gatekeeper starts a gateway from its settings, and carries out reloads and its planned stop.
package gatekeeper
