// Package lab starts fleets of real processes on loopback and measures them.
package lab
