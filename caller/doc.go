// Package caller is the HTTP edge of a router towards callers.
package caller
