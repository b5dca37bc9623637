// Command bluebellentry is the one process of an entry VM: it takes calls, routes
// them, and votes on the shared state where the VM has a disk.
package main

import "bluebellhaven.org/bluebellentry/bluebellmain"

func main() { bluebellmain.Main() }
