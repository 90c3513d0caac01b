// Package proofs tests the system as a whole: it runs the built programs as separate processes and injects faults.
package proofs
