/** The manifest of a gateway: records, JSON form and validation. */
package org.radishpost.manifest;
