/** The way of a call straight from the VM that took it to a target. */
package org.radishpost.direct;
