package compiler_test

import (
	"fmt"

	"clementineramp/compiler"
)

func ExampleCompile() {
	sheet := `version,number
version,412
rank,name,target,worth,share
rank,urgent,440ms,100,0.5
pool,name,model,version,floor,account
pool,vavrad,clementine-8b,2026-12-01,75%,spring
account,name,amount,as_of,lapses,credits_per_token
account,sprang,125000.50,2026-12-04 UTC,2027-01-31 UTC,0.002
`
	_, err := compiler.Compile(compiler.Source{Name: "monday.csv", Data: []byte(sheet)})
	fmt.Println(err)
	// Output:
	// monday.csv:6: field floor: "75%" is not a number, want digits with an optional decimal point, as in 1250.75
	// monday.csv:6: field account: account "spring" is unknown; did you mean "sprang"? (known: sprang)
}
