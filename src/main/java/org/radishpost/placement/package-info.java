/** Target selection based on load probes that are sent immediately before each call. */
package org.radishpost.placement;
