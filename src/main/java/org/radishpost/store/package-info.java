/** Interfaces to the platform's log and its list of VMs, independent of the transport. */
package org.radishpost.store;
