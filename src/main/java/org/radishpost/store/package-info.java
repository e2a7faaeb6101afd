/** Radishpost's own form of the platform's log and of its list of VMs. */
package org.radishpost.store;
