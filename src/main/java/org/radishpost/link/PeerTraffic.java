package org.radishpost.link;

import org.radishpost.lib.VmId;

/**
 * What went over the links to one peer since this VM first met it.
 *
 * @param peer the peer
 * @param bytesIn the bytes that came, with the length of each frame
 * @param bytesOut the bytes that were written
 * @param framesIn the frames that came
 * @param framesOut the frames that were written
 * @param unsupportedFrames the frames that came whose type or version this release does not know
 * @param roundTripNanos the smoothed time from a heartbeat to its echo, 0 when not known
 */
public record PeerTraffic(
    VmId peer,
    long bytesIn,
    long bytesOut,
    long framesIn,
    long framesOut,
    long unsupportedFrames,
    long roundTripNanos) {}
