package front

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Admin returns the handler of the administration listener, which serves /livez,
// /readyz and /metrics. The function ready returns an empty string, or the reason
// why the process is not ready to serve callers.
func Admin(ready func() string, metrics http.Handler) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c *gin.Context) {
		if reason := ready(); reason != "" {
			c.String(http.StatusServiceUnavailable, "not ready: %s\n", reason)
			return
		}
		c.String(http.StatusOK, "ok\n")
	})
	e.GET("/metrics", gin.WrapH(metrics))
	return e
}
