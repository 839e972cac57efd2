package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// tokenPurpose separates the token from other uses of the shared key.
const tokenPurpose = "clementineramp operator token 1"

// Token returns the bearer token for POST /drain.
// It is derived by HMAC, because whoever sees it on the wire must not learn the shared key itself.
func Token(sharedKey string) string {
	mac := hmac.New(sha256.New, []byte(sharedKey))
	mac.Write([]byte(tokenPurpose))
	return hex.EncodeToString(mac.Sum(nil))
}

// authorised reports whether a request carries the token of the shared key; an empty shared key authorises nobody.
func authorised(r *http.Request, sharedKey string) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if sharedKey == "" || !strings.EqualFold(scheme, "bearer") {
		return false
	}
	return hmac.Equal([]byte(token), []byte(Token(sharedKey)))
}
