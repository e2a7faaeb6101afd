/** The manifest of a gateway: its records, its JSON form and its validation. */
package org.radishpost.manifest;
