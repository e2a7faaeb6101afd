/** The HTTP edge towards callers, targets and other VMs. */
package org.radishpost.http;
