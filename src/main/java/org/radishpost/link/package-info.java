/** Authenticated links between VMs: MessagePack frames over TCP. */
package org.radishpost.link;
