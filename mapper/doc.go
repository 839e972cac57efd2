// Package mapper decides which route, service and organisation a request belongs to.
package mapper
