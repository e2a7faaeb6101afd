/** Which target a call is sent to, on load that was asked for just before. */
package org.radishpost.placement;
