package weights

import (
	"encoding/hex"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/zeebo/blake3"

	"pinevane.example/pinevane/internal/fault"
)

// FromDirectory creates a manifest of the files below a directory, in order of name,
// split into chunks. Files are streamed and not held in memory. Progress is called
// with the number of bytes read so far and in total.
func FromDirectory(directory, model, version string, chunkBytes int64, progress func(done, total int64)) (*Manifest, error) {
	files, total, err := listFiles(directory)
	if err != nil {
		return nil, err
	}
	manifest := &Manifest{Model: model, Version: version, TotalBytes: total, Files: files}
	splitter := &chunkSplitter{manifest: manifest, size: chunkBytes, hash: blake3.New()}
	var done int64
	for _, file := range files {
		if err := hashFile(filepath.Join(directory, file.Name), file.Size, splitter); err != nil {
			return nil, err
		}
		done += file.Size
		progress(done, total)
	}
	splitter.flush()
	if err := manifest.check(); err != nil {
		return nil, err
	}
	return manifest, nil
}

func listFiles(directory string) ([]File, int64, error) {
	var files []File
	var total int64
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		if !info.Mode().IsRegular() {
			return nil
		}
		name, err := filepath.Rel(directory, path)
		if err != nil {
			return err
		}
		files = append(files, File{Name: filepath.ToSlash(name), Size: info.Size()})
		total += info.Size()
		return nil
	})
	if err != nil {
		return nil, 0, &fault.Unavailable{Target: directory, Operation: "list", Cause: err}
	}
	if total == 0 {
		return nil, 0, &fault.InvalidManifest{Field: "files", Reason: "the directory holds no bytes"}
	}
	return files, total, nil
}

func hashFile(path string, size int64, output io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return &fault.Unavailable{Target: path, Operation: "open", Cause: err}
	}
	defer func() { _ = file.Close() }()
	copied, err := io.Copy(output, file)
	if err != nil {
		return &fault.Unavailable{Target: path, Operation: "read", Cause: err}
	}
	if copied != size {
		return &fault.InvalidManifest{Field: "files", Reason: path + " changed while it was read"}
	}
	return nil
}

// chunkSplitter splits a byte stream into hashed chunks.
type chunkSplitter struct {
	manifest *Manifest
	size     int64
	hash     *blake3.Hasher
	filled   int64
}

// Write implements io.Writer.
func (c *chunkSplitter) Write(data []byte) (int, error) {
	written := len(data)
	for len(data) > 0 {
		part := data[:min(int64(len(data)), c.size-c.filled)]
		_, _ = c.hash.Write(part)
		c.filled += int64(len(part))
		data = data[len(part):]
		if c.filled == c.size {
			c.flush()
		}
	}
	return written, nil
}

func (c *chunkSplitter) flush() {
	if c.filled == 0 {
		return
	}
	digest := Digest(hex.EncodeToString(c.hash.Sum(nil)))
	c.manifest.Chunks = append(c.manifest.Chunks, Chunk{Digest: digest, Size: c.filled})
	c.hash.Reset()
	c.filled = 0
}
