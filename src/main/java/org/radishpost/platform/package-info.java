/** What the platform gives: the append-only log and the list of VMs. */
package org.radishpost.platform;
