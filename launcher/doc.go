// Package launcher starts one daemon from its settings and carries out its planned stop.
package launcher
