// Package estimator learns from responses how much slower than usual each upstream of a plain service is, and how many
// requests in progress it handles within the latency target.
//
// Each gateway has few samples, and they are noisy. Estimates are therefore medians over the samples of this gateway and
// the reports of others, of which none has much weight alone. An upstream without samples counts as one of usual speed, so
// that it is tried again.
package estimator
