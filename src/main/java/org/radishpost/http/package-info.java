/** HTTP servers and clients for callers, targets and other VMs. */
package org.radishpost.http;
