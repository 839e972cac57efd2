// Package demonstrator runs a small fleet with stand-ins in one process and checks what it serves.
package demonstrator
