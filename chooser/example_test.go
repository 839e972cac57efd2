package chooser_test

import (
	"fmt"

	"clementineramp/chooser"
)

func ExampleChooser_Choose() {
	c, err := chooser.New(chooser.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	ups := fleet(5)
	fmt.Println(c.Choose(42, 100, ups).KeyValues()...)

	first := c.Choose(42, 100, ups).Order[0].Name
	for i := range ups {
		if ups[i].Name == first {
			ups[i].Work = 5000
		}
	}
	fmt.Println(c.Choose(42, 100, ups).KeyValues()...)
	// Output:
	// chosen engine-002 reason affinity policy rendezvous candidates engine-002(fit,live,1000/0s) engine-004(fit,live,1000/0s) engine-000(fit,live,1000/0s) skipped  mean 1000 limit 1530 known 5
	// chosen engine-004 reason above_bound policy rendezvous candidates engine-004(fit,live,1000/0s) engine-000(fit,live,1000/0s) engine-003(fit,live,1000/0s) skipped engine-002(above_bound,live,5000/0s) mean 1800 limit 2730 known 5
}
