// Package compiler compiles the operators' sheet to the manifest and parts of a configuration.
//
// A sheet is one or more CSV files in UTF-8. The first column names the kind of
// row. In each file, the first row of a kind is its header and names the columns,
// in any order. Empty lines and lines that begin with # are skipped. All errors in
// a sheet are reported, each with file, line and field.
//
//	version,number
//	version,412
//	rank,name,target,worth,share
//	rank,urgent,440ms,100,0.5
//	rank,batch,1m,1,0.1
//	account,name,amount,as_of,lapses,credits_per_token
//	account,spring,125000.50,2026-12-04 06:00 Europe/Stockholm,2027-01-31 Europe/Stockholm,0.002
//	pool,name,model,version,floor,account
//	pool,vavrad,clementine-8b,2026-12-01,0.75,spring
//	service,name,workers,horizon
//	service,bestall,bestall-1 bestall-2 bestall-3,10m
//	organisation,name,key_hash,rank,ranks,weight
//	organisation,Kvarnby,<64 hexadecimal digits>,batch,urgent batch,1
//
// The kinds and columns are:
//   - version: number, an integer that is higher in each new sheet. One row.
//   - rank: name; target, the time to the first token (440ms, 2s); worth, relative to the other ranks;
//     share, the guaranteed fraction of capacity; the shares sum to at most 1. Rows are ordered from the most to the
//     least urgent.
//   - pool: name; model; version; floor, the fraction of engines that stays ready during a change of version;
//     account (optional).
//   - service: name; workers, names separated by spaces; horizon, the time within which callers may retry an
//     order (10m).
//   - organisation: name; key_hash, the SHA-256 hash of the API key; rank, the default; ranks (optional), further
//     ranks separated by spaces; weight (optional), 1 if empty.
//   - account: name; amount, the credits left; as_of, the time of the amount; lapses, the time when the credits expire;
//     credits_per_token.
//
// Times are written as 2027-01-31T18:00:00+01:00, as 2027-01-31 18:00 Europe/Stockholm, or as
// 2027-01-31 Europe/Stockholm. A date without a time of day means the start of the day for as_of
// and the end of the day for lapses.
//
// Numbers are decimals without exponent or thousands separator. A number with more
// digits than a 64-bit floating-point number preserves is an error.
package compiler
