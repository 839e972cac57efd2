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

// Token returns the bearer token for POST /drain, in hexadecimal digits.
// It is derived by HMAC, so that the shared key cannot be computed from an intercepted token.
func Token(sharedKey string) string {
	mac := hmac.New(sha256.New, []byte(sharedKey))
	mac.Write([]byte(tokenPurpose))
	return hex.EncodeToString(mac.Sum(nil))
}

// authorised reports whether a request carries the token that is derived from the shared key. With an empty shared key no
// request is authorised.
func authorised(r *http.Request, sharedKey string) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if sharedKey == "" || !strings.EqualFold(scheme, "bearer") {
		return false
	}
	return hmac.Equal([]byte(token), []byte(Token(sharedKey)))
}
