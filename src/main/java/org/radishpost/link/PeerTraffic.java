package org.radishpost.link;

import org.radishpost.lib.VmId;

/**
 * Traffic counts of the authenticated links to one peer since this VM has known the peer.
 *
 * @param peer the peer
 * @param bytesIn the number of bytes received, with frame lengths and MACs
 * @param bytesOut the number of bytes sent, with frame lengths and MACs
 * @param framesIn the number of frames received
 * @param framesOut the number of frames sent
 * @param unsupportedFrames the number of frames received whose message type or version this release
 *     does not support
 * @param roundTripNanos the smoothed time from a heartbeat to its echo, 0 if unknown
 */
public record PeerTraffic(
    VmId peer,
    long bytesIn,
    long bytesOut,
    long framesIn,
    long framesOut,
    long unsupportedFrames,
    long roundTripNanos) {}
