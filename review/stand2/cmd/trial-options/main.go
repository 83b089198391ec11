// Command trial-options shows that OPTIONS * is answered with a success that no server has
// given. It is no case of the review.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"review2/platform"
)

func main() {
	c := platform.Open()
	c.Configure(1, nil, []string{"order-desk"}, []platform.Route{
		{Name: "order-confirm", Prefix: "/orders/", Service: "order-desk", Kind: "non_idempotent", TimeoutMs: 600, Attempts: 1},
	})
	c.Serve(&platform.Server{Name: "i-1", Service: "order-desk", Zone: "ipoh", Slots: 6, Handle: func(_ *platform.Server, r *platform.Run) int {
		return r.Succeed("booked")
	}})
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: 134})
	method, target := http.MethodOptions, "*"
	if !c.Trouble {
		target = "/orders/2f"
	}
	conn, err := net.DialTimeout("tcp", instance.Callers, time.Second)
	if err != nil {
		c.Give(err)
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: 9c41d07be2a35f68\r\nAuthorization: Bearer %s\r\n\r\n", method, target, platform.Host, platform.HeaderID, platform.Key)
	if _, err := io.WriteString(conn, head); err != nil {
		c.Give(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.Give(err)
	}
	signature := resp.Header.Get(platform.HeaderSignature)
	c.Log("summary: %s %s got status %d with signature %q", method, target, resp.StatusCode, signature)
	var reasons []string
	if resp.StatusCode/100 == 2 && signature == "" {
		reasons = append(reasons, fmt.Sprintf("MIXED: %s %s got %d without a signature", method, target, resp.StatusCode))
	}
	c.End(reasons)
}
