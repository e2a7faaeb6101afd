package org.radishpost.config;

import org.radishpost.manifest.Manifest;

/**
 * A manifest in force.
 *
 * @param version the version at which it was accepted
 * @param manifest the manifest
 */
public record VersionedManifest(long version, Manifest manifest) {}
