/** Configuration in force: the records of the configuration stream and the state they build. */
package org.radishpost.config;
