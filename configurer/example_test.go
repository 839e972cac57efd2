package configurer_test

import (
	"fmt"

	"clementineramp/configurer"
)

func ExampleHolder() {
	published := publish(7, ranks(0.5))
	h := configurer.NewHolder()
	result, _ := h.Offer(published.manifest)
	fmt.Println("wanted:", result.Wanted, "missing parts:", len(h.Missing()))
	for _, digest := range h.Missing() {
		result, _ = h.AddPart(digest, published.parts[digest])
	}
	fmt.Println("current:", result.Adopted.Version)
	older := publish(6, ranks(0.9))
	result, _ = h.Offer(older.manifest)
	fmt.Println("older wanted:", result.Wanted)
	// Output:
	// wanted: true missing parts: 1
	// current: 7
	// older wanted: false
}
