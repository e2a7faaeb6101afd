package org.radishpost.suspects;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.lib.Digest;
import org.radishpost.placement.TargetId;

/** Encodes updates about crashes as MessagePack; ages are in microseconds. */
public final class CrashUpdateCodec {
  private static final int DIGEST_BYTES = 32;

  private CrashUpdateCodec() {}

  /**
   * Writes an update.
   *
   * @throws IOException if the packer fails
   */
  public static void pack(MessagePacker packer, CrashUpdate update) throws IOException {
    packer.packArrayHeader(update.crashes().size());
    for (CrashReport report : update.crashes()) {
      packer.packString(report.id().target().value());
      packer.packLong(report.id().startedMillis());
      packAge(packer, report.ageNanos());
      packer.packArrayHeader(report.lost().size());
      for (CrashReport.Lost lost : report.lost()) {
        packDigest(packer, lost.fingerprint());
        packAge(packer, lost.sentAgeNanos());
      }
    }
    packer.packArrayHeader(update.cleared().size());
    for (CrashUpdate.Cleared cleared : update.cleared()) {
      packDigest(packer, cleared.fingerprint());
      packAge(packer, cleared.ageNanos());
    }
  }

  /**
   * Reads an update.
   *
   * @throws IOException if the unpacker fails
   * @throws IllegalArgumentException if a value is invalid
   */
  public static CrashUpdate unpack(MessageUnpacker unpacker) throws IOException {
    List<CrashReport> crashes = new ArrayList<>();
    int crashCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < crashCount; i++) {
      crashes.add(unpackReport(unpacker));
    }
    List<CrashUpdate.Cleared> cleared = new ArrayList<>();
    int clearedCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < clearedCount; i++) {
      cleared.add(new CrashUpdate.Cleared(unpackDigest(unpacker), unpackAge(unpacker)));
    }
    return new CrashUpdate(crashes, cleared);
  }

  private static CrashReport unpackReport(MessageUnpacker unpacker) throws IOException {
    CrashId id = new CrashId(new TargetId(unpacker.unpackString()), unpacker.unpackLong());
    long ageNanos = unpackAge(unpacker);
    List<CrashReport.Lost> lost = new ArrayList<>();
    int lostCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < lostCount; i++) {
      lost.add(new CrashReport.Lost(unpackDigest(unpacker), unpackAge(unpacker)));
    }
    return new CrashReport(id, ageNanos, lost);
  }

  private static void packAge(MessagePacker packer, long nanos) throws IOException {
    packer.packLong(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  private static long unpackAge(MessageUnpacker unpacker) throws IOException {
    return TimeUnit.MICROSECONDS.toNanos(unpacker.unpackLong());
  }

  private static void packDigest(MessagePacker packer, Digest digest) throws IOException {
    packer.packBinaryHeader(DIGEST_BYTES);
    packer.writePayload(digest.toBytes());
  }

  private static Digest unpackDigest(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackBinaryHeader();
    if (size != DIGEST_BYTES) {
      throw new IllegalArgumentException("a digest must have " + DIGEST_BYTES + " bytes");
    }
    return Digest.fromBytes(unpacker.readPayload(size));
  }
}
