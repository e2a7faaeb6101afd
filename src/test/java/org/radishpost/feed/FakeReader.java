package org.radishpost.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A reader that records its calls; tests set its position. */
final class FakeReader implements FeedReader {
  final List<String> calls = new ArrayList<>();
  Optional<Position> position = Optional.of(new Position(10, 20));

  @Override
  public Optional<Position> position() {
    return position;
  }

  @Override
  public void applySnapshot(Feed feed, List<KeyedRecord> records, long nextOffset) {
    calls.add("newest " + feed + " " + records.size() + " before " + nextOffset);
  }

  @Override
  public void applyRecords(Feed feed, List<KeyedRecord> records) {
    records.forEach(record -> calls.add(feed + " " + record.key()));
  }

  @Override
  public void advanceTo(Position newPosition) {
    position = Optional.of(newPosition);
  }

  @Override
  public void pause() {
    calls.add("pause");
  }

  @Override
  public void resume() {
    calls.add("resume");
  }
}
