// Standin runs small stand-ins of the systems that the router meets: engines, the
// platform and plain services.
package main

func main() {}
