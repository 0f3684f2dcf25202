package store

// journalCopies returns the number of files that each journal is written to.
func (s *Store) journalCopies() int {
	if s.settings.MirrorJournal {
		return mirroredCopies
	}
	return 1
}

// startGeneration starts a generation with an empty journal.
func (s *Store) startGeneration() error {
	generation := s.generation + 1
	var files []File
	err := s.createJournal(generation, &files)
	if err != nil {
		for _, file := range files {
			file.Close()
		}
		for _, prefix := range []string{journalPrefix, mirrorPrefix}[:len(files)] {
			s.fs.Remove(fileName(prefix, generation)) // otherwise each retry on a full disk would leave a file
		}
		return err
	}
	s.closeJournal()
	s.journal = files
	return nil
}

// createJournal creates the copies of a generation's journal with their first record. It adds them to files as they are
// created.
func (s *Store) createJournal(generation uint64, files *[]File) error {
	for _, prefix := range []string{journalPrefix, mirrorPrefix}[:s.journalCopies()] {
		file, err := s.fs.Create(fileName(prefix, generation))
		if err != nil {
			return err
		}
		*files = append(*files, file)
		s.generation = generation // even if a later step fails: the name is in use
	}
	first := beginJournalRecord(generation, s.journalCopies())
	header := first.append(nil, generation)
	if err := s.writeAndSync(*files, header); err != nil {
		return err
	}
	s.journalBytes = len(header)
	return s.fs.SyncDir()
}

// appendToJournal writes to all copies of the journal and waits for the disk.
func (s *Store) appendToJournal(data []byte) error {
	s.journalBytes += len(data)
	return s.writeAndSync(s.journal, data)
}

// writeAndSync writes the data to each of the files, and syncs them.
func (s *Store) writeAndSync(files []File, data []byte) error {
	for _, file := range files {
		if err := s.writeAll(file, data); err != nil {
			return err
		}
	}
	for _, file := range files {
		if err := file.Sync(); err != nil {
			return err
		}
		s.stats.Syncs++
	}
	return nil
}

// closeJournal closes the copies of the open journal.
func (s *Store) closeJournal() {
	for _, file := range s.journal {
		file.Close()
	}
	s.journal = nil
}
