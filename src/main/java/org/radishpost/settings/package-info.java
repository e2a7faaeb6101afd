/** The settings of one process: records, JSON schema and checks. */
package org.radishpost.settings;
