package compiler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/compiler"
	"clementineramp/configurer"
)

func readSheet(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/svealand.csv")
	require.NoError(t, err)
	return string(data)
}

func compile(t testing.TB, text string) *compiler.Sheet {
	t.Helper()
	s, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(text)})
	require.NoError(t, err)
	return s
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func largeSheet(version, organisations int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version,number\nversion,%d\nrank,name,target,worth,share\nrank,batch,1m,1,0.1\norganisation,name,key_hash,rank\n", version)
	for i := range organisations {
		name := fmt.Sprintf("organisation-%05d", i)
		fmt.Fprintf(&b, "organisation,%s,%s,batch\n", name, hashOf(name))
	}
	return b.String()
}

func TestCompile(t *testing.T) {
	s := compile(t, readSheet(t))
	snapshot, err := configurer.Load(s.Manifest, s.Part)
	require.NoError(t, err)
	require.Equal(t, uint64(412), snapshot.Version)
	require.Equal(t, []string{"urgent", "standard", "batch"}, []string{s.Rows.Ranks[0].Name, s.Rows.Ranks[1].Name, s.Rows.Ranks[2].Name})
	o, ok := snapshot.Authenticate("sjo-key")
	require.True(t, ok)
	require.Equal(t, "Sjö, Vik & Co", o.Name)
	require.InDelta(t, 2.5, o.Weight, 0)
	a := snapshot.Accounts[0]
	require.InDelta(t, 125000.50, a.Amount, 0)
	// The end of 31 January in Stockholm, where winter time is one hour ahead of UTC.
	require.Equal(t, time.Date(2027, 1, 31, 23, 0, 0, 0, time.UTC), a.Lapses)
	require.Equal(t, time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC), a.AsOf)
	require.Equal(t, s, compile(t, readSheet(t)), "the same sheet must give the same digests")
}

// Guards against error messages without the file, line and field of the error or without the allowed values.
func TestErrors(t *testing.T) {
	good := readSheet(t)
	tests := []struct{ name, old, replacement, want string }{
		{"kind", "pool,vavrad", "pol,vavrad", `sheet.csv:12: kind of row "pol" is unknown; did you mean "pool"? (known: version, rank, pool,`},
		{"column", "rank,name,target,", "rank,name,targt,", `sheet.csv:4: header of rank: column "targt" is unknown; did you mean "target"?`},
		{"column missing", "worth,share\n", "worth\n", `header of rank: column "share" is missing`},
		{"rank", ",batch,urgent standard,1", ",bach,urgent standard,1", `sheet.csv:16: field rank: rank "bach" is unknown; did you mean "batch"? (known: urgent, standard, batch)`},
		{"ranks", ",batch,urgent standard,1", ",batch,urgnt,1", `field ranks: rank "urgnt" is unknown; did you mean "urgent"?`},
		{"account", "0.75,spring", "0.75,sprig", `sheet.csv:12: field account: account "sprig" is unknown; did you mean "spring"?`},
		{"share", "100,0.5", "100,0.95", "sheet.csv:6: field share: the shares up to this rank sum to more than 1"},
		{"share range", "100,0.5", "100,1.5", "sheet.csv:5: field share: 1.5, want 0 to 1"},
		{"share negative", "100,0.5", "100,-0.5", "field share: -0.5, want 0 to 1"},
		{"worth", "440ms,100", "440ms,0", "field worth: 0, want more than 0"},
		{"target", "440ms", "440", `field target: "440" is not a duration`},
		{"horizon", "10m", "0s", "field horizon: 0s, want whole milliseconds above 0"},
		{"workers", "bestall-1 bestall-2 bestall-3", "w1 w2 w1", `field workers: "w1" is listed twice`},
		{"missing", "vavrad,clementine-8b", "vavrad,", "field model: missing"},
		{"exponent", "125000.50", "1e5", `field amount: "1e5" is not a number`},
		{"thousands", "125000.50", `"125,000.50"`, `is not a number`},
		{"digits", "125000.50", "9007199254740993", `field amount: "9007199254740993" has more digits than a 64-bit floating-point number preserves; the nearest such number is 9007199254740992`},
		{"zone missing", "2027-01-31 Europe/Stockholm", "2027-01-31", `field lapses: "2027-01-31" has no time zone`},
		{"zone", "2027-01-31 Europe/Stockholm", "2027-01-31 Europe/Stokholm", `time zone "Europe/Stokholm" is unknown`},
		{"local zone", "2027-01-31 Europe/Stockholm", "2027-01-31 Local", `time zone "Local" is unknown`},
		{"date", "2027-01-31 Europe/Stockholm", "31.1.2027 Europe/Stockholm", `"31.1.2027" is not a time`},
		{"lapsed", "2027-01-31 Europe/Stockholm", "2026-12-01 Europe/Stockholm", "field lapses:"},
		{"second version", "version,412\n", "version,412\nversion,413\n", "sheet.csv:4: the sheet has a second version row"},
		{"version", "version,412", "version,0", "want a whole number of at least 1"},
		{"no version", "version,number\nversion,412\n", "", "the sheet has no version row"},
		{"name twice", "pool,vavrad,clementine-8b,2026-12-01,0.75,spring\n", "pool,vavrad,clementine-8b,2026-12-01,0.75,spring\npool,vavrad,other,1,0,\n", `sheet.csv:13: field name: pool "vavrad" is already listed in sheet.csv:12`},
		{"model twice", "pool,vavrad,clementine-8b,2026-12-01,0.75,spring\n", "pool,vavrad,clementine-8b,2026-12-01,0.75,spring\npool,x,clementine-8b,1,0,\n", "already served by the pool in sheet.csv:12"},
		{"service named as pool", "service,bestall,", "service,vavrad,", `"vavrad" is also the name of a pool`},
		{"key twice", hashOf("sjo-key"), hashOf("kvarnby-key"), "the organisation in sheet.csv:16 has the same key"},
		{"cells", "urgent standard,1\n", "urgent standard,1,2\n", "6 cells, but the header of organisation has 5 columns"},
		{"quote", `"Sjö, Vik & Co"`, `"Sjö, Vik" & Co`, "sheet.csv:17: column"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(good, tt.old, tt.replacement, 1)
			require.NotEqual(t, good, text, "the replacement must change the sheet")
			_, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(text)})
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against printing an API key that was pasted into the column for its hash.
func TestKeyIsNotPrinted(t *testing.T) {
	text := strings.Replace(readSheet(t), hashOf("sjo-key"), "sjo-key", 1)
	_, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(text)})
	require.ErrorContains(t, err, "sheet.csv:17: field key_hash: want the SHA-256")
	require.NotContains(t, err.Error(), "sjo-key")
}

// Guards against a compiler that stops at the first error.
func TestAllErrorsAreReported(t *testing.T) {
	text := readSheet(t)
	for _, r := range [][2]string{{"440ms", "fast"}, {"100,0.5", "1e3,7"}, {"0.75,spring", "75%,sprig"}, {"10m", "soon"}} {
		text = strings.Replace(text, r[0], r[1], 1)
	}
	_, err := compiler.Compile(compiler.Source{Name: "a.csv", Data: []byte(text)}, compiler.Source{Name: "b.csv", Data: []byte("bogus\n")})
	var errs compiler.Errors
	require.ErrorAs(t, err, &errs)
	var locations []string
	for _, e := range errs {
		locations = append(locations, fmt.Sprintf("%s:%d %s", e.File, e.Line, e.Field))
	}
	require.Equal(t, []string{"a.csv:5 target", "a.csv:5 worth", "a.csv:5 share", "a.csv:12 floor", "a.csv:12 account", "a.csv:14 horizon", "b.csv:1 "}, locations, "%v", err)
}

func TestSeveralFiles(t *testing.T) {
	whole := readSheet(t)
	i := strings.Index(whole, "organisation,name")
	s, err := compiler.Compile(
		compiler.Source{Name: "organisations.csv", Data: []byte("\xef\xbb\xbf" + whole[i:])},
		compiler.Source{Name: "rest.csv", Data: []byte(whole[:i])},
	)
	require.NoError(t, err)
	require.Equal(t, compile(t, whole).Digest, s.Digest)
}

func TestDiff(t *testing.T) {
	before := readSheet(t)
	after := before
	for _, r := range [][2]string{
		{"version,412", "version,413"},
		{"clementine-8b,2026-12-01", "clementine-8b,2026-12-04"},
		{"125000.50", "98000.25"},
		{"Kvarnby", "Vikby"},
		{",standard,,2.5", ",standard,urgent,"},
	} {
		after = strings.Replace(after, r[0], r[1], 1)
	}
	got := compiler.Diff(compile(t, before), compile(t, after))
	rows, transfers, ok := strings.Cut(got, "transfers ")
	require.True(t, ok)
	hash := hashOf("kvarnby-key")[:8]
	require.Equal(t, `version 412 -> 413
~ account spring: amount 125000.5 -> 98000.25
~ pool vavrad: version 2026-12-01 -> 2026-12-04
~ organisation Sjö, Vik & Co: ranks (none) -> urgent, weight 2.5 -> 1
+ organisation Vikby: key_hash `+hash+`, rank batch, ranks urgent standard, weight 1
- organisation Kvarnby
`, rows)
	require.Contains(t, transfers, "3 of 5 parts")
	require.Contains(t, compiler.Diff(compile(t, after), compile(t, before)), "warning: version 412 is not above 413")
}

func TestShards(t *testing.T) {
	for count, want := range map[int]int{0: 1, 10: 1, 160: 1, 161: 2, 320: 2, 321: 4, 14_000: 128, 20_480: 128, 20_481: 256} {
		require.Equal(t, want, compiler.Shards(count), count)
	}
}

// Guards against a change of one organisation that transfers more than the manifest and one part.
func TestChangeTransfersOnePart(t *testing.T) {
	text := largeSheet(1, 14_000)
	a := compile(t, text)
	changed := strings.Replace(strings.Replace(text, "version,1\n", "version,2\n", 1), hashOf("organisation-00007"), hashOf("new key"), 1)
	b := compile(t, changed)
	require.Contains(t, compiler.Diff(a, b), "transfers 1 of 129 parts")
	largest, total := 0, 0
	for _, p := range b.Parts {
		largest = max(largest, len(p.Data))
		total += len(p.Data)
	}
	t.Logf("manifest %d bytes, largest part %d bytes, mean part %d bytes", len(b.Manifest), largest, total/len(b.Parts))
	require.Less(t, largest, 24<<10)
}

func FuzzCompile(f *testing.F) {
	f.Add(readSheet(f))
	f.Add("version,number\nversion,1\nrank,name,target,worth,share\nrank,a,1s,1,1\n")
	f.Add("rank,share,name\nrank,\"a\n")
	f.Add("account,name,amount,as_of,lapses,credits_per_token\naccount,a,1,2026-01-01 UTC,2026-01-02 UTC,1\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(text)})
		if err != nil {
			var errs compiler.Errors
			require.ErrorAs(t, err, &errs)
			require.NotEmpty(t, errs)
			return
		}
		_, err = configurer.Load(s.Manifest, s.Part)
		require.NoError(t, err)
	})
}

// Guards against publishing an amount that differs from the one in the sheet.
func FuzzAmount(f *testing.F) {
	f.Add("125000.50")
	f.Add("0.1")
	f.Add("00123456789012345678")
	sheet := readSheet(f)
	f.Fuzz(func(t *testing.T, amount string) {
		if strings.ContainsAny(amount, ",\"\r\n") || strings.TrimSpace(amount) != amount {
			return
		}
		s, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(strings.Replace(sheet, "125000.50", amount, 1))})
		if err != nil {
			return
		}
		want := strings.TrimLeft(amount, "0")
		if strings.Contains(want, ".") {
			want = strings.TrimRight(strings.TrimRight(want, "0"), ".")
		}
		if want == "" || want[0] == '.' {
			want = "0" + want
		}
		require.Equal(t, want, strconv.FormatFloat(s.Rows.Accounts[0].Amount, 'f', -1, 64))
	})
}

func BenchmarkCompile14000(b *testing.B) {
	data := []byte(largeSheet(1, 14_000))
	for b.Loop() {
		if _, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}
