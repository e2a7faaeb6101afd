/** An open-loop load driver and its reports. */
package org.radishpost.bench;
