package org.radishpost.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The reading of a store that does as it is told, and notes it. */
final class FakeReader implements FeedReader {
  final List<String> events = new ArrayList<>();
  Optional<Position> position = Optional.of(new Position(10, 20));

  @Override
  public Optional<Position> position() {
    return position;
  }

  @Override
  public void applySnapshot(Feed feed, List<KeyedRecord> records, long next) {
    events.add("newest " + feed + " " + records.size() + " before " + next);
  }

  @Override
  public void applyRecords(Feed feed, List<KeyedRecord> records) {
    records.forEach(record -> events.add(feed + " " + record.key()));
  }

  @Override
  public void advanceTo(Position upTo) {
    position = Optional.of(upTo);
  }

  @Override
  public void pause() {
    events.add("pause");
  }

  @Override
  public void resume() {
    events.add("resume");
  }
}
