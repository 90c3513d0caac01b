// Package proofs holds tests that run the programs as separate processes.
package proofs
