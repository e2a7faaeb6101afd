/** Which VMs are alive, who owns what, and which peers a VM keeps links to. */
package org.radishpost.membership;
