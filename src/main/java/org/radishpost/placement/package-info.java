/** Selection of the target of a call, based on load probed immediately before. */
package org.radishpost.placement;
