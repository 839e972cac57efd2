// Package judge says of a failed request whether it may have run.
package judge
