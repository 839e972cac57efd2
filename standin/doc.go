// Package standin plays the platform, model engines and a plain service in tests, in the demo and in measurements.
package standin
