//go:build !race

package gateway

// searchChecks is how many sequences TestCrossings plays by itself.
const searchChecks = "3000"
